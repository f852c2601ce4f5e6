/** Where an entry stands. */
interface Locality {
  readonly region: string;
  readonly dataCentre: string;
}

export default Locality;
