import type Failure from '../errors/Failure';

/** One exchange with a target that is in progress. */
interface Dispatch {
  /** Resumes the response after `onData` returned false. */
  resume: () => void;
  /** Aborts the exchange and closes its connection; `onFailure` is called with the reason. */
  abort: (reason: Failure) => void;
}

export default Dispatch;
