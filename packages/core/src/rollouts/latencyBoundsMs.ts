/**
 * Upper bounds of the latency buckets, in milliseconds; each is about 1.5 times the one before, so
 * that twice the usual latency falls into another bucket.
 */
const latencyBoundsMs: readonly number[] = [
  10, 15, 23, 34, 51, 76, 115, 170, 260, 390, 580, 870, 1300, 2000, 3000, 4500, 6700, 10_000,
];

export default latencyBoundsMs;
