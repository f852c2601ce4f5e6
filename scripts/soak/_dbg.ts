import SoakCluster from './SoakCluster';
async function main() {
  const c = await SoakCluster.start();
  try {
    for (let i=0;i<6;i++) { await new Promise(r=>setTimeout(r,1500)); for (const v of c.controls) { const o = await (c as any).client().vms(); console.log(o.ok ? JSON.stringify(o.val.vms.map((x:any)=>[x.vm,x.control, x.entry?.hasLease, x.version])) : o.val); break; } }
  } finally { 
    for (const v of c.controls) console.log((v as any).lines.slice(-5).map((l:any)=>JSON.stringify(l)).join('\n'));
  await c.remove(); }
}
main();
