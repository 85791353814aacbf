"""Measures how the memory of one entry host grows with the requests that it answers, and how long a look at its figures
takes then. No case: see REPORT-2.md. Takes about a minute, after the build of the deploy file."""
import os, sys, tempfile
HERE = os.path.dirname(os.path.abspath(__file__)); sys.path.insert(0, HERE)
from standins_2 import *
import multiprocessing as mp
def srv(net,p,i):
    async def m():
        class S: 
            ver=0
            async def server_write(self,*a): return 1
        s=Server(S(),f"i-reads-{i}","reads",f"{net}.{20+i}",8000,"za",work=0.0); 
        s.server=await asyncio.start_server(s.handle,s.host,s.port)
        while True:
            s.runs.clear(); await asyncio.sleep(1)
    asyncio.run(m())
def cli(net,n,k):
    s=socket.create_connection((f"{net}.11",8548)); 
    for i in range(n):
        s.sendall(f"GET /read/{k} HTTP/1.1\r\nHost: shop.example\r\nElmstream-Attempt-Id: q{k}-{i}\r\nElmstream-Affinity-Key: {k}-{i%50}\r\nElmstream-Deadline-Ms: 3000\r\n\r\n".encode())
        b=b""
        while b"\r\n\r\n" not in b: b+=s.recv(4096)
        h,_,r=b.partition(b"\r\n\r\n"); n_=int(re.search(rb"content-length: (\d+)",h).group(1))
        while len(r)<n_: r+=s.recv(4096)
async def main():
    net=free_net(); tmp=tempfile.mkdtemp()
    st=await Store().serve(f'{net}.1',8541); st.put('op','config',config(1))
    ps=[mp.Process(target=srv,args=(net,8000,i),daemon=True) for i in range(4)]; [p.start() for p in ps]
    for i in range(4): st.put('servers',f'i-reads-{i}',dict(service='reads',address=f'{net}.{20+i}:8000',zone='za',version='v1',slots=64,state='ready',coldRemainingMs=0,sequenceNumber=1))
    h=await Host(os.path.dirname(HERE),tmp,'h0',f'{net}.11','za','ra',ZONES,f'{net}.1:8541',[f'{net}.11:8544']).start(); print(await h.wait_ready()); await asyncio.sleep(1)
    def rss(): return int(re.search(r"VmRSS:\s+(\d+)",open(f'/proc/{h.proc.pid}/status').read()).group(1))
    async def load(n,c):
        q=[mp.Process(target=cli,args=(net,n,k)) for k in range(c)]; [p.start() for p in q]
        while any(p.is_alive() for p in q): await asyncio.sleep(0.05)
    await load(500,8); print('rss kB',rss())
    tot=4000
    for rnd in range(5):
        t=now(); await load(8000,8); tot+=64000; print(tot,'requests, rss kB',rss(),round(64000/(now()-t)),'req/s',flush=True)
    async def scrape():
        t=now(); r,w=await asyncio.open_connection(h.ip,9464); w.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"); l,hd=await read_head(r); b=await read_body(r,hd); w.close(); return round((now()-t)*1000,1)
    print('scrape ms',await scrape(), 'again',await scrape(),'rss',rss())
    await load(8000,8); print('rss after 64000 more',rss()); await h.end(); [p.kill() for p in ps]
asyncio.run(main())
