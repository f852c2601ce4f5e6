/** A target of tests; its figures may be changed at any time. */
interface FakeTarget {
  readonly id: string;
  readonly address: string;
  region: string;
  running: number;
  slots: number;
  slowness: number;
  /** Time of one request at the usual speed, in milliseconds. */
  workMs: number;
  coldLeftMs: number;
  /**
   * What it does with requests. Probes are always answered but for `silent`, which a target that
   * `crashes` becomes with the request.
   */
  mode: 'answers' | 'resets' | 'not-run' | 'foreign' | 'silent' | 'unsigned' | 'busy' | 'fails'
  | 'unframed' | 'crashes';
}

export default FakeTarget;
