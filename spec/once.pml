/* A request that may not be repeated: ticket, hand-over to an owner, lost
 * answers, the caller's second try, the death of the issuing host.
 *
 * The issuer is one incarnation of an entry host; it keeps the ticket's state
 * in memory. The caller tries up to TRIES times, at the issuer or at another
 * host, which brings the try to the issuer. The owner dispatches to the backend
 * server, which may run the request although the answer is lost.
 *
 * Properties: `run_once` (the backend server runs it at most once) and
 * `not_run_is_true` (a caller that is told "not run" is right, then and later).
 */
#define TRIES 3
mtype = { fresh, running, ended };

mtype ticket = fresh;   /* at the issuer */
bool alive = true;      /* the issuing incarnation */
byte runs = 0;          /* at the backend server */
bool toldNotRun = false;
byte tries = 0;         /* tries that the caller has begun */
byte late = 0;          /* dispatches on the way to the backend server */
bool busy = false;      /* the issuer is working on a try */
bool sent = false;      /* bytes of that try may have reached a backend server */

#define CHECK assert(runs <= 1); assert(!(toldNotRun && runs > 0)); assert(!(toldNotRun && late > 0))

active proctype world() {
  do
  /* The caller's first or next try reaches the issuer. */
  :: d_step { tries < TRIES && alive && !busy && ticket == fresh ->
       tries++; ticket = running; busy = true; sent = false; toldNotRun = false }
#ifdef BUG_NO_MEMORY
  :: d_step { tries < TRIES && alive && ticket == ended -> tries++; ticket = running; busy = true; sent = false; toldNotRun = false }
#else
  /* A try with a used ticket is answered "unknown". */
  :: d_step { tries < TRIES && alive && ticket != fresh -> tries++ }
#endif
  /* The issuer is gone: "unknown", and nobody runs it. */
#ifdef BUG_RUN_ELSEWHERE
  :: d_step { tries < TRIES && !alive -> tries++; late++; CHECK }
#else
  :: d_step { tries < TRIES && !alive -> tries++ }
#endif
  /* An owner refuses before the dispatch: another owner may be asked, or the
   * caller is told "not run" and the ticket is free again. */
  :: d_step { busy && alive && !sent -> busy = false; ticket = fresh; toldNotRun = true; CHECK }
  /* The dispatch: bytes leave for the backend server. */
  :: d_step { busy && alive && !sent -> sent = true; late++; CHECK }
#ifdef BUG_RETRY_AFTER_SEND
  :: d_step { busy && alive && sent -> late++; CHECK }
#endif
  /* The backend server runs what arrives, at any later time, or never. */
  :: d_step { late > 0 -> late--; runs++; CHECK }
  :: d_step { late > 0 -> late-- }
  /* The answer comes, or contact is lost: the try ends as ran or unknown. */
  :: d_step { busy && alive && sent -> busy = false; ticket = ended }
#ifdef BUG_NOT_RUN_AFTER_SEND
  :: d_step { busy && alive && sent -> busy = false; ticket = fresh; toldNotRun = true; CHECK }
#endif
  /* The issuer dies at any moment. */
  :: d_step { alive -> alive = false; busy = false }
  od
}
