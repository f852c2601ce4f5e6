import * as z from 'zod';

import HostPort from '@guavayard/core/types/HostPort';
import Name from '@guavayard/core/types/Name';

const DEFAULT_NOTICE_MS = 5000;
const MAX_NOTICE_MS = 60_000;

const Listener = z.strictObject({
  listen: HostPort.describe('IP number and port to listen on; port 0 lets the system choose'),
});

const Vm = z.strictObject({
  name: Name.describe('name of this VM, unique in the system'),
  region: Name.describe('region where the VM runs'),
  dataCentre: Name.describe('data centre where the VM runs'),
  roles: z.array(z.enum(['entry', 'control'])).min(1).describe('roles of the VM'),
  listen: HostPort.describe('address for sessions with other VMs'),
  control: z.array(HostPort).min(1).describe('addresses of the control VMs'),
  keyFile: z.string().min(1).describe('file that holds the key shared by all VMs, at least 16 characters'),
});

/** Settings of one VM, read from its TOML file. The descriptions appear in docs/SETTINGS.md. */
const Settings = z.strictObject({
  vm: Vm.describe('this VM'),
  caller: Listener.optional().describe('callers\' HTTP listener; role `entry`'),
  target: Listener.optional().describe('targets\' announcements; role `entry`'),
  operator: Listener.extend({
    tokenFile: z.string().min(1).describe('file that holds the operators\' token, at least 16 characters'),
  }).optional().describe('operators\' API; role `control`'),
  disk: z.strictObject({
    folder: z.string().min(1).describe('data folder, filled by `guavayard init` or from a running quorum'),
  }).optional().describe('durable state; role `control`'),
  platform: Listener.extend({
    noticeMs: z.int().min(0).max(MAX_NOTICE_MS).default(DEFAULT_NOTICE_MS)
      .describe('time in ms for which a stopping VM keeps serving, until the platform has noticed'),
  }).optional().describe('readiness for the platform\'s balancer'),
  metrics: z.strictObject({
    statsd: HostPort.describe('address of a statsd server, over UDP'),
  }).optional().describe('export of metrics; without this section none are sent'),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).describe('minimum level that is logged'),
  }).default({ level: 'info' }).describe('log on standard output, one JSON object per line'),
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
