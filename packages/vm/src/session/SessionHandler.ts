import type VmIdentity from './VmIdentity';
import type VmMessage from '../messages/VmMessage';
import type VmSession from './VmSession';

/** Receives the events of a session. */
interface SessionHandler {
  /** The session is open: the peer has proved that it knows the shared key. */
  onOpen: (session: VmSession, peer: VmIdentity) => void;
  /** The peer sent a message. */
  onMessage: (session: VmSession, message: VmMessage) => void;
  /** The session is closed; no event follows. */
  onClose: (session: VmSession, reason: string) => void;
  /** An unexpected exception while the session handled an event; the session closes. */
  onError?: (session: VmSession, err: Error) => void;
}

export default SessionHandler;
