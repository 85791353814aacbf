/* Ownership of one backend server through two successive moves.
 *
 * Epoch 0: host 0 owns, witnesses {0,1,2}. Epoch 1: host 1 owns, witnesses
 * {1,2,3}. Epoch 2: host 2 owns.
 *
 * Clocks are countdowns, so time is unbounded; LEN is the lease's length. A host
 * that has installed the newest epoch, and knows that it is settled, may act at any
 * time if the row assigns the server to it, which is more than the code allows. A
 * host with an older epoch may act until its lease expires.
 *
 * Property `one_owner`: no two hosts may act at the same time.
 *
 * At any time, a message may be late or lost (a promise or an answer is received at
 * any later time, or never), a table write may take effect while its answer is lost,
 * a witness may restart (as another incarnation, which no longer answers for the
 * former one), the steward may crash and be replaced by one that starts from the row
 * alone (two stewards are equivalent to that, as the table executes one write at a
 * time), a host may learn of an epoch late or never, and time may pass.
 */
#define LEN 2
#define W 4
#define LAST 2

/* The table: epoch, and whether no host acts by an older one any more. */
byte epoch = 0;
bool settled = true;

/* Hosts. */
byte hep[3];            /* epoch that the host has installed */
bool hset[3];           /* it knows that this epoch is settled */
byte lease[2];          /* remaining time of its lease */
byte left[2];           /* 1 + remaining time of a lease from its renewal round; 0 if there is no round */
byte promised[2];       /* bit set: witnesses that promised in the round */
bool tabled[2];         /* the table accepted the renewal of the round */

/* Witnesses. */
byte fenced[W];         /* 1 + highest fenced epoch; 0 if there is none */
byte gone = 0;          /* bit set: restarted witnesses */

/* The steward, for the move from epoch-1 to epoch. */
byte wait = 0;          /* 1 + remaining time; 0 if the wait has not begun */

#define NAMED(e, i) ((i) >= (e) && (i) <= (e) + 2)
#define BIT(m, i)   (((m) >> (i)) & 1)
#define COUNT(m, e) (BIT(m, (e)) + BIT(m, (e) + 1) + BIT(m, (e) + 2))
/* Witness i no longer promises at an epoch below e: it is fenced, or restarted. */
#define SHUT(i, e)  (BIT(gone, i) || fenced[i] >= (e))
/* The steward learns of each at any later time, so this is the earliest case. */
#define MAJORITY    (SHUT(epoch - 1, epoch) + SHUT(epoch, epoch) + SHUT(epoch + 1, epoch) >= 2)
#define OWNS(h)     (hep[h] == (h))
#define ACTS(h)     (OWNS(h) && hset[h] && (epoch == h || lease[h] > 0))
/* Host 2 owns at the last epoch only, so its lease is not modelled. */
#define NEWEST      (hep[2] == 2 && hset[2])
#define one_owner   (ACTS(0) + ACTS(1) + NEWEST <= 1)
#define CHECK       assert(one_owner)
#define DEC(x, min) if :: x > min -> x-- :: else fi

#define END(h)      left[h] = 0; promised[h] = 0; tabled[h] = false
/* A round whose lease would have expired is abandoned. */
#define AGE(h)      if :: left[h] > 2 -> left[h]-- :: left[h] == 2 -> END(h) :: else fi
#ifdef BUG_FROM_ANSWER
#define LEFT(h) LEN
#else
#define LEFT(h) (left[h] - 1)
#endif
#ifdef BUG_RENEW_OLD_EPOCH
#define SAME_EPOCH(h) true
#else
/* The write is conditional on the row's version, and therefore on the epoch. */
#define SAME_EPOCH(h) (hep[h] == epoch)
#endif
#ifdef BUG_MEMORY
#define RESTART(i)  d_step { fenced[i] > 0 -> fenced[i] = 0 }
#else
#define RESTART(i)  d_step { !BIT(gone, i) -> gone = gone | (1 << i) }
#endif
#define PROMISE(h, i) d_step { left[h] > 0 && NAMED(hep[h], i) && !BIT(gone, i) && fenced[i] <= hep[h] && !BIT(promised[h], i) -> promised[h] = promised[h] | (1 << i) }
#define FENCE(i)    d_step { !settled && NAMED(epoch - 1, i) && !SHUT(i, epoch) -> fenced[i] = epoch }
/* A host installs the row: its rounds of the older epoch end. */
#define TAKE(h)     d_step { hep[h] != epoch || hset[h] != settled -> if :: hep[h] != epoch -> END(h); lease[h] = 0 :: else fi; hep[h] = epoch; hset[h] = settled; CHECK }
#define TAKE2       d_step { epoch == 2 && NEWEST != settled -> hep[2] = 2; hset[2] = settled; CHECK }
#define HOST(h) \
  :: d_step { OWNS(h) && left[h] == 0 -> left[h] = 1 + LEN } \
  :: d_step { left[h] > 0 -> END(h) } \
  :: PROMISE(h, 0) :: PROMISE(h, 1) :: PROMISE(h, 2) :: PROMISE(h, 3) \
  :: d_step { left[h] > 0 && COUNT(promised[h], hep[h]) >= 2 && LEFT(h) > lease[h] -> lease[h] = LEFT(h); CHECK } \
  :: d_step { left[h] > 0 && !tabled[h] && SAME_EPOCH(h) -> tabled[h] = true } \
  :: d_step { tabled[h] && LEFT(h) > lease[h] -> lease[h] = LEFT(h); CHECK } \
  :: TAKE(h)
#ifdef BUG_NO_WAIT
#define WAITED      MAJORITY
#else
#define WAITED      (wait == 1)
#endif
#ifdef BUG_UNSETTLED
/* The next move may begin before this one is settled. */
#define MAY_SWAP    true
#else
#define MAY_SWAP    settled
#endif
#ifdef BUG_RELEASE_UNHEARD
#define RELEASED    true
#else
/* The former owner has installed the new epoch. */
#define RELEASED    (hep[epoch - 1] == epoch)
#endif

active proctype world() {
  hset[0] = true; lease[0] = LEN;
  do
  :: d_step { DEC(lease[0], 0); DEC(lease[1], 0); AGE(0); AGE(1); DEC(wait, 1) }
  HOST(0)
  HOST(1)
  :: TAKE2
  :: RESTART(0) :: RESTART(1) :: RESTART(2) :: RESTART(3)
  :: FENCE(0) :: FENCE(1) :: FENCE(2) :: FENCE(3)
  :: d_step { epoch < LAST && MAY_SWAP -> epoch++; settled = false; wait = 0; CHECK }
  :: d_step { !settled && wait != 0 -> wait = 0 }
  :: d_step { !settled && wait == 0 && MAJORITY -> wait = 1 + LEN }
  :: d_step { !settled && (WAITED || RELEASED) -> settled = true; wait = 0 }
  od
}
