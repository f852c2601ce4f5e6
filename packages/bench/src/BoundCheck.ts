/** A measured value and the limit that it must not exceed. */
interface BoundCheck {
  readonly name: string;
  readonly measured: number;
  readonly limit: number;
}

export default BoundCheck;
