/**
 * Highest demand that is expected of a tenant, as a multiple of its rate: ten times a usual demand
 * of 1 / 1.6 of the rate.
 */
const surgeFactor = 6.25;

export default surgeFactor;
