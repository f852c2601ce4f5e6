/** Set by the bundler. */
declare const BUILD_ID: string | undefined;

/** Hash of the bundled sources, which tells builds apart; `sources` if they run unbundled. */
const buildId = typeof BUILD_ID === 'undefined' ? 'sources' : BUILD_ID;

export default buildId;
