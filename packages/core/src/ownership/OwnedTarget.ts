/** Properties of a target that determine its owner. */
interface OwnedTarget {
  readonly id: string;
  readonly dataCentre: string;
  /** Region of the data centre, undefined while the configuration does not define it. */
  readonly region: string | undefined;
}

export default OwnedTarget;
