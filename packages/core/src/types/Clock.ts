/** Monotonic clock: milliseconds since an arbitrary moment. */
type Clock = () => number;

export default Clock;
