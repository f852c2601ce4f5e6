import type invariantTable from './invariantTable';

/** Key of an invariant in the table of invariants. */
type InvariantKind = keyof typeof invariantTable;

export default InvariantKind;
