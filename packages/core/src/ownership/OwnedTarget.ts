/** What decides who owns a target. */
interface OwnedTarget {
  readonly id: string;
  readonly dataCentre: string;
  /** Region of the data centre, undefined while the configuration does not name it. */
  readonly region: string | undefined;
}

export default OwnedTarget;
