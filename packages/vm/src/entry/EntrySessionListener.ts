import type VmMessage from '../messages/VmMessage';
import type VmIdentity from '../session/VmIdentity';

/** Receives the events of sessions with other entries. */
interface EntrySessionListener {
  /** Messages to the entry use a new session from now on; those in flight may have been lost. */
  onEntryOpen: (entry: VmIdentity) => void;
  /** The entry sent a message. */
  onEntryMessage: (entry: VmIdentity, message: VmMessage) => void;
  /** The last session with the entry has closed. */
  onEntryClose: (entry: VmIdentity) => void;
}

export default EntrySessionListener;
