/** Exit codes: success, failure, and invalid arguments on the command line. */
const ExitCode = { ok: 0, failed: 1, usage: 2 } as const;

export default ExitCode;
