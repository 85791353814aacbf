/* A store that is restored once from a backup copy. It loses what it acknowledged after the
 * copy and assigns versions a second time; later, the operator writes the newest configuration
 * again. Hosts read the store, exchange what they know, and restart.
 *
 * Properties: `no_reverting` (no running host returns to an older configuration) and
 * `in_force` (a host that reads the newest acknowledged configuration installs it).
 */
#define N 2
#define CONFIGURATIONS 3
#define COUNTS 6

byte truth = 0;                     /* newest configuration acknowledged to the operator */
byte era = 0; byte count = 0;       /* the store's era and version counter */
byte row = 0; byte rowCount = 0;    /* its configuration, and that row's version */
byte copyRow = 0; byte copyRowCount = 0; byte copyCount = 0;
bool again = true;                  /* every lost configuration has been written again */
byte inForce[N];
byte knownEra[N]; byte knownCount[N];  /* watermark: version up to which a host knows the store */

#ifdef BUG_COUNT_ONLY
#define NEWER(e, c, n) ((c) > knownCount[n])
#else
#define NEWER(e, c, n) ((e) > knownEra[n] || ((e) == knownEra[n] && (c) > knownCount[n]))
#endif
#ifdef BUG_TAKES_COPY
#define KEPT(n, r) false
#else
/* A configuration in force is retained against an older one. */
#define KEPT(n, r) (inForce[n] > (r))
#endif
#define TAKE(n, r) \
  if \
  :: KEPT(n, r) -> skip \
  :: else -> assert((r) >= inForce[n]); inForce[n] = (r) \
  fi

#define HOST(n, m) \
  :: atomic { rowCount > 0 -> \
       if \
       :: NEWER(era, rowCount, n) -> knownEra[n] = era; knownCount[n] = rowCount; TAKE(n, row) \
       :: else -> skip \
       fi; \
       assert(row != truth || inForce[n] == truth) } \
  :: atomic { NEWER(knownEra[m], knownCount[m], n) -> \
       knownEra[n] = knownEra[m]; knownCount[n] = knownCount[m]; TAKE(n, inForce[m]) } \
  :: atomic { inForce[n] > 0 -> inForce[n] = 0; knownEra[n] = 0; knownCount[n] = 0 }

active proctype world() {
  do
  :: atomic { truth < CONFIGURATIONS && count < COUNTS ->
       truth++; count++; row = truth; rowCount = count }
  :: atomic { count < COUNTS -> count++ }
  :: atomic { era == 0 -> copyRow = row; copyRowCount = rowCount; copyCount = count }
  :: atomic { era == 0 -> era = 1; again = (copyRow == row);
       row = copyRow; rowCount = copyRowCount; count = copyCount }
  :: atomic { era == 1 && !again && count < COUNTS ->
       again = true; count++; row = truth; rowCount = count }
  HOST(0, 1)
  HOST(1, 0)
  od
}
