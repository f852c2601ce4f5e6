import type Failure from '../errors/Failure';

/** One exchange with a target that is under way. */
interface Dispatch {
  /** Goes on after `onData` returned false. */
  resume: () => void;
  /** Ends the exchange and closes its connection; `onFailure` gets the reason. */
  abort: (reason: Failure) => void;
}

export default Dispatch;
