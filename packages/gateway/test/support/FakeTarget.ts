/** State of a simulated target; tests may change it at any time. */
interface FakeTarget {
  readonly id: string;
  readonly address: string;
  region: string;
  running: number;
  slots: number;
  slowness: number;
  /** Service time of one request at the usual speed, in milliseconds. */
  workMs: number;
  coldLeftMs: number;
  /** Whether `slowness` slows running requests as it changes, rather than those that start. */
  isProgressive?: boolean;
  /** Time after which it answers a probe, in milliseconds. */
  probeMs?: number;
  /** Whether it does not tell its load, and lets probes wait for a free slot. */
  isMute?: boolean;
  /** Requests per second that it says it takes; undefined without a limit. */
  limit?: number;
  /** Whether its responses say that it is about to leave: those to requests only, or all. */
  leaving?: 'requests' | 'all' | undefined;
  /** Time that it asks for when it refuses a request, in milliseconds. */
  restMs?: number;
  /** Whether new connections are reset once they have been accepted; open ones live on. */
  refusesConnections?: boolean;
  /** Length to which its response body is padded, in bytes; its id alone by default. */
  bodyBytes?: number;
  /** Time between two chunks of its response body, in milliseconds; none by default. */
  chunkGapMs?: number;
  /** Whether it answers no probe, but requests. */
  ignoresProbes?: boolean;
  /** Time between the last byte of its response body and the end of the response, in ms. */
  tailMs?: number;
  /** Whether it closes each connection after a response. */
  closesConnections?: boolean;
  /**
   * How it handles requests. It answers probes in every mode except `silent`, the mode in which a
   * target that `crashes` is after the request; one that `crashes late` has sent half of its
   * response before.
   */
  mode: 'answers' | 'resets' | 'not-run' | 'foreign' | 'silent' | 'unsigned' | 'busy' | 'fails'
  | 'unframed' | 'crashes' | 'crashes late';
}

export default FakeTarget;
