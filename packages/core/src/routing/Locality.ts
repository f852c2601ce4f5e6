/** Location of an entry. */
interface Locality {
  readonly region: string;
  readonly dataCentre: string;
}

export default Locality;
