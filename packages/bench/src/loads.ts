/** Offered loads, as shares of the capacity that slow phases leave. */
const loads = [0.5, 0.7, 0.85, 0.95] as const;

export default loads;
