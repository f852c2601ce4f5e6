/** Version of the messages from which on VMs know of roll-outs and of the versions of targets. */
const ROLLOUT_VERSION = 5;

export default ROLLOUT_VERSION;
