/** Name and place of an entry. */
interface BenchEntryPlace {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
}

export default BenchEntryPlace;
