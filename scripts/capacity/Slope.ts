/** One measured slope of the capacity. */
interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

export default Slope;
