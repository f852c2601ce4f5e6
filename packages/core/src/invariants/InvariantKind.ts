import type invariantTable from './invariantTable';

/** Name of a row in the table of invariants. */
type InvariantKind = keyof typeof invariantTable;

export default InvariantKind;
