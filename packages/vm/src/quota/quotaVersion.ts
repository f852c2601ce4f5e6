/** Version of the messages between VMs from which on they include those about quotas. */
const QUOTA_VERSION = 5;

export default QUOTA_VERSION;
