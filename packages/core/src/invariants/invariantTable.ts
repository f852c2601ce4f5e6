/** All invariants that are checked on every dispatch, with the meaning of a breach. */
const invariantTable = {
  dispatchWithoutLease: 'a request was dispatched while no configuration was in force',
  dispatchToDataCentreOut: 'a request was dispatched to a data centre that is not in',
  coldLimitExceeded: 'a cold target was given more than its slots, or by an entry that does not own it',
  outsideHomeRegions: 'a request was dispatched outside its home regions',
  repeatedRun: 'a non-idempotent request was dispatched again without evidence that it had not run',
} as const satisfies Readonly<Record<string, string>>;

export default invariantTable;
