/** Version of the messages from which on VMs understand questions about currency, and tenants. */
const CURRENCY_VERSION = 5;

export default CURRENCY_VERSION;
