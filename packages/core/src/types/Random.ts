/** Random number generator, uniformly distributed over 0 (inclusive) to 1 (exclusive). */
type Random = () => number;

export default Random;
