/* Acceptance and propagation of the configuration. Two operators race with
 * changes that expect the same revision; writes take effect late and answers are
 * lost; nodes restart, receive pushes and fetch from each other.
 *
 * Properties: `accepted_stays` (a change reported as accepted is never reported as
 * lost, nor replaced by another one at its revision), `one_per_revision`, and
 * `no_reverting` (no running node installs a lower revision).
 */
#define N 2
#define OPS 2
mtype = { idle, sent, effective, accepted, refused, unknown };

byte headRev = 0;       /* head row: revision, and its writer */
byte headBy = 0;
byte wonBy[3];          /* writer of each revision; 0 if there is none */
mtype op[OPS];          /* state of each operator's change, which expects revision 0 */
bool onWay[OPS];        /* its write may still take effect */
byte node[N];           /* revision in force; 0 if there is none */
byte by[N];             /* writer of that revision */

#define CHECK assert(!(op[0] == accepted && op[1] == accepted)); \
  assert(op[0] != accepted || wonBy[1] == 1); assert(op[1] != accepted || wonBy[1] == 2); \
  assert(op[0] != refused || wonBy[1] != 1); assert(op[1] != refused || wonBy[1] != 2)

#ifdef BUG_NO_CONDITION
#define CONDITION(o) true
#else
#define CONDITION(o) headRev == 0
#endif
#define OPERATOR(o) \
  :: d_step { op[o] == idle -> op[o] = sent; onWay[o] = true } \
  /* The write takes effect if the row has not changed since it was read. */ \
  :: d_step { onWay[o] && CONDITION(o) -> onWay[o] = false; headRev = 1; headBy = o + 1; wonBy[1] = o + 1; CHECK } \
  :: d_step { onWay[o] && headRev != 0 -> onWay[o] = false } \
  /* Reading back finds this change, another one, or the old row; then the write is retried. */ \
  :: d_step { op[o] == sent && READ_BACK(o) -> op[o] = accepted; CHECK } \
  :: d_step { op[o] == sent && headRev != 0 && wonBy[1] != o + 1 -> op[o] = refused; CHECK } \
  :: d_step { op[o] == sent && headRev == 0 -> onWay[o] = true } \
  OLD_ROW(o) \
  :: d_step { op[o] == sent -> op[o] = unknown }
#ifdef BUG_NO_READ_BACK
#define READ_BACK(o) true
#else
#define READ_BACK(o) (headRev != 0 && wonBy[1] == o + 1)
#endif
#ifdef BUG_OLD_ROW_IS_REFUSAL
#define OLD_ROW(o) :: d_step { op[o] == sent && headRev == 0 -> op[o] = refused; CHECK }
#else
#define OLD_ROW(o)
#endif
#ifdef BUG_TAKES_LOWER
#define HIGHER(n, r) true
#else
#define HIGHER(n, r) ((r) > node[n])
#endif
#define TAKE(n, r, b) d_step { (r) > 0 && HIGHER(n, r) -> assert((r) >= node[n]); assert((r) != node[n] || (b) == by[n] || node[n] == 0); node[n] = r; by[n] = b }
#define NODE(n, m) \
  :: TAKE(n, headRev, headBy) \
  :: TAKE(n, node[m], by[m]) \
  :: d_step { node[n] > 0 -> node[n] = 0; by[n] = 0 }

active proctype world() {
  op[0] = idle; op[1] = idle;
  do
  OPERATOR(0)
  OPERATOR(1)
  /* A later change by another operator, which expects revision 1. */
  :: d_step { headRev == 1 -> headRev = 2; headBy = 3; wonBy[2] = 3 }
  NODE(0, 1)
  NODE(1, 0)
  od
}
