import type PatchOperation from '@guavayard/core/types/PatchOperation';

/** Size of the configuration expected in two years; each service has two routes. */
const SERVICES = 37;
const DATA_CENTRES = 7;
const REGIONS = ['munster', 'leinster', 'connacht'] as const;

function createService(index: number): PatchOperation[] {
  const service = `service-${index}`;
  const objectives = { availability: 0.999, latency: { thresholdMs: 250, share: 0.99 } };
  return [
    { op: 'add', path: `/services/${service}`, value: { objectives } },
    { op: 'add', path: `/routes/${service}-read`, value: { pathPrefix: `/${service}/read`, service } },
    { op: 'add', path: `/routes/${service}-home`, value: { pathPrefix: `/${service}/home`, service, homeRegions: ['munster'] } },
  ];
}

/**
 * Creates the patch from an empty configuration to the one expected in two years.
 *
 * @returns the operations of the patch
 */
export default function createConfigurationOperations(): PatchOperation[] {
  const dataCentres = Array.from({ length: DATA_CENTRES }, (_, index): PatchOperation => ({
    op: 'add',
    path: `/dataCentres/dc-${index}`,
    value: { region: REGIONS[index % REGIONS.length], state: 'in' },
  }));
  const services = Array.from({ length: SERVICES }, (_, index) => createService(index));
  return [...dataCentres, ...services.flat()];
}
