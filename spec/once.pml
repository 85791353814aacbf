/* A request that may not be repeated: ticket, forwarding to an owner, lost
 * answers, retries by the caller, and a crash of the issuing host.
 *
 * The issuer is one incarnation of an entry host; it keeps the ticket's state
 * in memory. The caller makes up to TRIES attempts, at the issuer or at another
 * host, which forwards them to the issuer. The owner dispatches to the backend
 * server, which may run the request although the answer is lost.
 *
 * Properties: `run_once` (the backend server runs it at most once) and
 * `not_run_is_true` (if a caller receives "not run", the request has not run and
 * does not run later from an earlier attempt).
 */
#define TRIES 3
mtype = { fresh, running, ended };

mtype ticket = fresh;   /* state at the issuer */
bool alive = true;      /* the issuing incarnation runs */
byte runs = 0;          /* runs at the backend server */
bool toldNotRun = false;
byte tries = 0;         /* attempts that the caller has begun */
byte late = 0;          /* dispatches in transit to the backend server */
bool busy = false;      /* the issuer processes an attempt */
bool sent = false;      /* bytes of that attempt may have reached a backend server */

#define CHECK assert(runs <= 1); assert(!(toldNotRun && runs > 0)); assert(!(toldNotRun && late > 0))

active proctype world() {
  do
  /* An attempt of the caller reaches the issuer. */
  :: d_step { tries < TRIES && alive && !busy && ticket == fresh ->
       tries++; ticket = running; busy = true; sent = false; toldNotRun = false }
#ifdef BUG_NO_MEMORY
  :: d_step { tries < TRIES && alive && ticket == ended -> tries++; ticket = running; busy = true; sent = false; toldNotRun = false }
#else
  /* An attempt with a used ticket is answered "unknown". */
  :: d_step { tries < TRIES && alive && ticket != fresh -> tries++ }
#endif
  /* The issuer has crashed: the answer is "unknown", and no host runs the request. */
#ifdef BUG_RUN_ELSEWHERE
  :: d_step { tries < TRIES && !alive -> tries++; late++; CHECK }
#else
  :: d_step { tries < TRIES && !alive -> tries++ }
#endif
  /* An owner refuses before the dispatch: another owner may be tried, or the
   * caller receives "not run" and the ticket is unused again. */
  :: d_step { busy && alive && !sent -> busy = false; ticket = fresh; toldNotRun = true; CHECK }
  /* The dispatch: bytes are sent to the backend server. */
  :: d_step { busy && alive && !sent -> sent = true; late++; CHECK }
#ifdef BUG_RETRY_AFTER_SEND
  :: d_step { busy && alive && sent -> late++; CHECK }
#endif
  /* The backend server runs a dispatched request at any later time, or never. */
  :: d_step { late > 0 -> late--; runs++; CHECK }
  :: d_step { late > 0 -> late-- }
  /* The answer arrives or the connection is lost: the attempt ends as ran or unknown. */
  :: d_step { busy && alive && sent -> busy = false; ticket = ended }
#ifdef BUG_NOT_RUN_AFTER_SEND
  :: d_step { busy && alive && sent -> busy = false; ticket = fresh; toldNotRun = true; CHECK }
#endif
  /* The issuer may crash at any time. */
  :: d_step { alive -> alive = false; busy = false }
  od
}
