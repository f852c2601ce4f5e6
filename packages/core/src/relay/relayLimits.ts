/** Bounds of the requests that entries relay to each other. */
const relayLimits = {
  /** Entries of one data centre among which an entry chooses, so that few sessions are opened. */
  preferredPerDataCentre: 3,
  /** Entries of one data centre that are asked for one request. */
  askedPerDataCentre: 2,
  /** Entries that are asked for one request. */
  maxAsked: 6,
  /** Longest wait for the consent of an entry in the same region, in milliseconds. */
  nearAskMs: 60,
  /** Longest wait for the consent of an entry in another region, in milliseconds. */
  farAskMs: 120,
  /** Added to these waits while the session is not open yet, in milliseconds. */
  connectMs: 100,
  /** Time for which an entry that cannot take requests is not asked again, in ms. */
  firmAvoidMs: 1000,
  /** Time after which it is asked all the same if no other entry is left, in milliseconds. */
  firmAskAgainMs: 200,
  /** Such entries that are asked for one request. */
  maxAskedAgain: 2,
  /** Time for which an entry that was busy or did not answer is asked last, in ms. */
  briefAvoidMs: 300,
  /** Pause before the entries are asked again for a request that can still wait, in ms. */
  askAgainMs: 50,
  /** Share of its time that a request may wait for entries that are silent or stopping. */
  waitShare: 1 / 3,
  /** Queued requests of a service from which an entry takes no further ones of others. */
  busyQueue: 4,
  /** Time without a relayed request after which the session to an entry is closed, in ms. */
  idleSessionMs: 10_000,
  /** Least remaining time with which a request is relayed, in milliseconds. */
  minRemainingMs: 30,
  /** Taken from the remaining time, so that the other entry answers before this one gives up. */
  marginMs: 10,
  /** Relayed requests that one entry serves at the same time. */
  maxServed: 256,
  /** Largest part of a body in one message, in bytes. */
  chunkBytes: 16 * 1024,
  /** Bytes of a body that may be under way before the receiver has consumed them. */
  windowBytes: 64 * 1024,
} as const;

export default relayLimits;
