#include "entry/refusal_count.h"
#include "daisystep/metrics.h"

/* Counts a request that was refused with STATUS.  */
void
ds_refusal_count (unsigned status)
{
  switch (status)
    {
    case 400:
    case 404:
      ds_metric_add (DS_METRIC_REFUSED_INVALID, 1);
      break;
    case 401:
      ds_metric_add (DS_METRIC_REFUSED_CREDENTIAL, 1);
      break;
    case 402:
      ds_metric_add (DS_METRIC_REFUSED_BUDGET, 1);
      break;
    case 503:
      ds_metric_add (DS_METRIC_REFUSED_OVERLOAD, 1);
      break;
    default:
      ds_metric_add (DS_METRIC_REFUSED_UNKNOWN, 1);
      break;
    }
}
