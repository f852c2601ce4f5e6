/** Source of random numbers, evenly spread over 0 (included) to 1 (excluded). */
type Random = () => number;

export default Random;
