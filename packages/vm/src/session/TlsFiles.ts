import * as z from 'zod';

const Path = z.string().min(1);

/** Paths of the PEM files with which a VM proves its identity to the others. */
const TlsFiles = z.object({
  /** Certificate of this VM; its subject alternative names include the VM's IP address. */
  certificateFile: Path,
  keyFile: Path,
  /** Certificate of the authority that signs the certificates of all VMs. */
  authorityFile: Path,
});
type TlsFiles = z.infer<typeof TlsFiles>;

export default TlsFiles;
