/** Exit codes of the program. */
const ExitCode = { ok: 0, failed: 1, usage: 2 } as const;

export default ExitCode;
