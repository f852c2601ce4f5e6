/** Loads of the bench, as parts of the capacity with the slow phases taken off. */
const loads = [0.5, 0.7, 0.85, 0.95] as const;

export default loads;
