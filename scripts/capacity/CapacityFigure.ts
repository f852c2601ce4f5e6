/** A measured figure for capacity planning. */
interface CapacityFigure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

export default CapacityFigure;
