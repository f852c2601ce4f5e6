import type VmMessage from '../messages/VmMessage';

/** Sends to the other entries of the own region. */
interface EntryBroadcast {
  /**
   * @param message - the message
   * @returns how many entries it was sent to
   */
  broadcastInRegion: (message: VmMessage) => number;
}

export default EntryBroadcast;
