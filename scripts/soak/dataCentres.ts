/** Data centres of the soak test, two in each of three regions. */
const DATA_CENTRES = [
  { region: 'munster', dataCentre: 'munster-1' },
  { region: 'leinster', dataCentre: 'leinster-1' },
  { region: 'connacht', dataCentre: 'connacht-1' },
  { region: 'munster', dataCentre: 'munster-2' },
  { region: 'leinster', dataCentre: 'leinster-2' },
  { region: 'connacht', dataCentre: 'connacht-2' },
] as const;

export default DATA_CENTRES;
