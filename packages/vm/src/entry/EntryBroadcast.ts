import type VmMessage from '../messages/VmMessage';

/** Broadcasts messages to the other entries of the own region. */
interface EntryBroadcast {
  /**
   * Sends a message to every other entry of the own region.
   *
   * @param message - the message to send
   * @returns the number of entries that it was sent to
   */
  broadcastInRegion: (message: VmMessage) => number;
}

export default EntryBroadcast;
