import { resolve } from 'node:path';

import protocolVersion from '@guavayard/vm/session/protocolVersion';

import type SourceEdit from './SourceEdit';

const HELPERS = resolve('scripts/build/variant');
const SESSION = 'packages/vm/src/session/VmSession.ts';
const REGISTRY = 'packages/vm/src/registry/RegistryTask.ts';

/** Messages of a version of its own, with a further kind, further fields and a further value. */
const messageEdits: readonly SourceEdit[] = [
  {
    path: 'packages/vm/src/session/protocolVersion.ts',
    from: `protocolVersion = ${protocolVersion};`,
    to: `protocolVersion = ${protocolVersion + 1};`,
  },
  {
    path: 'packages/vm/src/messages/sessionMessages.ts',
    from: "z.strictObject({ kind: z.literal('heartbeat') }),",
    to: `z.strictObject({ kind: z.literal('heartbeat') }),
      z.strictObject({ kind: z.literal('novelty'), text: z.string() }),`,
  },
  {
    path: 'packages/core/src/consensus/ConsensusMessage.ts',
    from: 'entries: z.array(LogEntry),',
    to: 'entries: z.array(LogEntry), novelty: z.string().optional(),',
  },
  {
    path: 'packages/core/src/consensus/ConsensusMessage.ts',
    from: 'isAccepted: z.boolean(),',
    to: `isAccepted: z.union([z.boolean(), z.literal('novel').transform(() => true)]),
      novelty: z.string().optional(),`,
  },
  {
    path: SESSION,
    from: 'this.sendFrame(encodeFrame(message));',
    to: 'sendAdapted(message, this.peer, (adapted) => this.sendFrame(encodeFrame(adapted)));',
  },
  {
    path: SESSION,
    from: "import computeProof from './computeProof';",
    to: `import computeProof from './computeProof';
      import sendAdapted from '${HELPERS}/sendAdapted';`,
  },
  {
    path: SESSION,
    from: "if (message.data.kind === 'heartbeat') return;",
    to: `if (message.data.kind === 'heartbeat') return;
      if (message.data.kind === 'novelty' && !this.hasNovelty) {
        this.hasNovelty = true;
        process.stdout.write('{"msg":"novelty received"}\\n');
      }`,
  },
];

/** Records of a further kind and snapshots with a further field, once all members are variants. */
const recordEdits: readonly SourceEdit[] = [
  {
    path: 'packages/core/src/consensus/Command.ts',
    from: "z.strictObject({ kind: z.literal('noop') }),",
    to: `z.strictObject({ kind: z.literal('noop') }),
      z.strictObject({ kind: z.literal('novelty'), text: z.string() }),`,
  },
  {
    path: 'packages/core/src/configuration/ConfigurationSnapshot.ts',
    from: 'registry: RegistryState.optional(),',
    to: 'registry: RegistryState.optional(), novelty: z.string().optional(),',
  },
  {
    path: REGISTRY,
    from: "import CallRouter from '../control/CallRouter';",
    to: `import CallRouter from '../control/CallRouter';
      import isAgreed from '${HELPERS}/isAgreed';`,
  },
  {
    path: REGISTRY,
    from: 'this.presence.start(() => this.connections.update()),',
    to: `this.presence.start(() => {
        this.agree();
        this.connections.update();
      }),`,
  },
  {
    path: REGISTRY,
    from: '  private applyAll(',
    to: `  novelty: string | undefined;

      private agree(): void {
        const members = [...this.consensus.voterNames, ...this.consensus.learnerNames];
        const { hub, identity, requiredVoters } = this.options;
        if (this.novelty === undefined && this.consensus.isLeader
          && isAgreed(hub, identity.name, members, requiredVoters)) {
          this.consensus.propose({ kind: 'novelty', text: 'agreed' }).catch(() => undefined);
        }
      }

      private applyAll(`,
  },
  {
    path: REGISTRY,
    from: 'this.store = new RegistryStore(',
    to: `this.novelty = snapshot.data.novelty;
      this.store = new RegistryStore(`,
  },
  {
    path: REGISTRY,
    from: 'this.store.restore(data.registry, lastIndex);',
    to: `this.store.restore(data.registry, lastIndex);
      this.novelty = data.novelty;`,
  },
  {
    path: REGISTRY,
    from: 'createSnapshot: () => this.store.createSnapshot(),',
    to: `createSnapshot: () => ({
          ...this.store.createSnapshot(),
          ...(this.novelty === undefined ? {} : { novelty: this.novelty }),
        }),`,
  },
  {
    path: REGISTRY,
    from: "if (command.kind === 'members') this.options.log",
    to: `if (command.kind === 'novelty') {
        this.novelty = command.text;
        this.options.log.info('novelty agreed');
      }
      if (command.kind === 'members') this.options.log`,
  },
  // Snapshots are taken often enough for a test to reach them.
  {
    path: 'packages/core/src/consensus/isCompactionDue.ts',
    from: 'MAX_ENTRIES = 256;',
    to: 'MAX_ENTRIES = 8;',
  },
];

/** Makes a later build out of the present sources, which keeps to the contract between builds. */
const sourceEdits: readonly SourceEdit[] = [...messageEdits, ...recordEdits];

export default sourceEdits;
