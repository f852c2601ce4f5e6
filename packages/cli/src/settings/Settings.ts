import { z } from 'zod';

import HostPort from '@guavayard/core/types/HostPort';
import Name from '@guavayard/core/types/Name';

const Listener = z.strictObject({ listen: HostPort });

const Vm = z.strictObject({
  /** Name of this VM, unique in the system. */
  name: Name,
  region: Name,
  dataCentre: Name,
  roles: z.array(z.enum(['entry', 'control'])).min(1),
  /** Address for sessions with other VMs. */
  listen: HostPort,
  /** Addresses of the control VMs. */
  control: z.array(HostPort).min(1),
  /** File that holds the key shared by all VMs. */
  keyFile: z.string().min(1),
});

/** Settings of one VM, read from its TOML file. */
const Settings = z.strictObject({
  vm: Vm,
  /** Callers' HTTP listener; role `entry`. */
  caller: Listener.optional(),
  /** Targets' announcements; role `entry`. */
  target: Listener.optional(),
  /** Operators' API; role `control`. */
  operator: Listener.extend({ tokenFile: z.string().min(1) }).optional(),
  /** Durable state; role `control`. */
  disk: z.strictObject({ folder: z.string().min(1) }).optional(),
  /** Readiness for the platform's balancer. */
  platform: Listener.optional(),
  /** Where metrics are sent; without the section none are. */
  metrics: z.strictObject({ statsd: HostPort }).optional(),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']),
  }).default({ level: 'info' }),
}).superRefine((settings, context) => {
  const required = {
    entry: ['caller', 'target'],
    control: ['operator', 'disk'],
  } as const;
  settings.vm.roles.forEach((role) => {
    required[role].forEach((section) => {
      if (settings[section] !== undefined) return;
      context.addIssue({
        code: 'custom',
        path: [section],
        message: `expected a section [${section}] for role "${role}"`,
      });
    });
  });
});
type Settings = z.infer<typeof Settings>;

export default Settings;
