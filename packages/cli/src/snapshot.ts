// Entry point of the binary. The modules below are initialised when the binary is built, and a
// process starts from a snapshot of that state. Modules that need `node:http`, which cannot be in a
// snapshot, are loaded when the process runs.
import 'bunyan';
import 'prom-client/lib/counter';
import 'prom-client/lib/gauge';
import 'prom-client/lib/histogram';
import 'prom-client/lib/registry';
import '@guavayard/core/registry/Declaration';
import '@guavayard/disk/openReplica';
import '@guavayard/gateway/CrashWatch';
import '@guavayard/gateway/Placement';
import '@guavayard/gateway/RequestLog';
import '@guavayard/gateway/TargetPool';
import '@guavayard/gateway/TargetProber';
import '@guavayard/platform/PlatformDialect';
import '@guavayard/platform/decodeAnnouncement';
import '@guavayard/platform/decodeDeclaration';
import '@guavayard/vm/registry/RegistrySubscription';
import '@guavayard/vm/registry/RegistryTask';
import '@guavayard/vm/session/VmHub';

import './main';
import './settings/readGatewaySettings';
