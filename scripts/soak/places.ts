/** Data centres of the soak, two in each of three regions. */
const PLACES = [
  { region: 'munster', dataCentre: 'munster-1' },
  { region: 'leinster', dataCentre: 'leinster-1' },
  { region: 'connacht', dataCentre: 'connacht-1' },
  { region: 'munster', dataCentre: 'munster-2' },
  { region: 'leinster', dataCentre: 'leinster-2' },
  { region: 'connacht', dataCentre: 'connacht-2' },
] as const;

export default PLACES;
