import * as z from 'zod';

import DataCentre from './DataCentre';
import Name from './Name';
import Route from './Route';
import Service from './Service';
import Tenant from './Tenant';

/** Configuration document, which operators change with JSON patches. */
const Configuration = z.strictObject({
  services: z.record(Name, Service).default({}),
  dataCentres: z.record(Name, DataCentre).default({}),
  routes: z.record(Name, Route).default({}),
  tenants: z.record(Name, Tenant).default({}),
});
type Configuration = z.infer<typeof Configuration>;

export default Configuration;
