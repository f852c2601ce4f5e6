import * as z from 'zod';

import ExternalName from '../types/ExternalName';
import DeclaredRoute from './DeclaredRoute';
import DeclaredService from './DeclaredService';
import TrafficLimits from './TrafficLimits';

/** Complete configuration under a version chosen by its author. The highest version is in force. */
const Declaration = z.strictObject({
  version: z.int().min(0),
  routes: z.record(z.string(), DeclaredRoute),
  services: z.record(ExternalName, DeclaredService),
  limits: TrafficLimits,
  /** The document exactly as it was submitted; reads return it unchanged. */
  source: z.string(),
});
type Declaration = z.infer<typeof Declaration>;

export default Declaration;
