/** Monotonic clock that returns the milliseconds since an arbitrary point in time. */
type Clock = () => number;

export default Clock;
