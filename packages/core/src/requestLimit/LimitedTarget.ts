/** The attributes of a target that determine which entries share its request limit. */
interface LimitedTarget {
  readonly service: string;
  /** Region of the target's data centre. */
  readonly region: string;
}

export default LimitedTarget;
