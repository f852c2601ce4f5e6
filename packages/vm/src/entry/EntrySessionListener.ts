import type VmMessage from '../messages/VmMessage';
import type VmIdentity from '../session/VmIdentity';

/** Receiver of what happens between this entry and the others. */
interface EntrySessionListener {
  /** Messages to the entry go over a new session from now on; it has lost what was under way. */
  onEntryOpen: (entry: VmIdentity) => void;
  /** The entry sent a message. */
  onEntryMessage: (entry: VmIdentity, message: VmMessage) => void;
  /** No session with the entry is left. */
  onEntryClose: (entry: VmIdentity) => void;
}

export default EntrySessionListener;
