/** Name, region and data centre of an entry. */
interface BenchEntryLocation {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
}

export default BenchEntryLocation;
