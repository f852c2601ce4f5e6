/** One bound of the bench, from a stated target. */
interface BoundCheck {
  readonly name: string;
  readonly measured: number;
  readonly limit: number;
}

export default BoundCheck;
