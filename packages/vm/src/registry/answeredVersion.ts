/** Version of the messages from which on VMs understand `targetCrashed` and `requestAnswered`. */
const ANSWERED_VERSION = 4;

export default ANSWERED_VERSION;
